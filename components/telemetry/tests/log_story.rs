//! Tests of log line parsing and of request timelines over the logs of several routers.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use telemetry::{LogLine, RequestTimeline};

const LOG_LINES: &str = "\
r1 2026-01-01T00:00:00.100Z INFO  dependency lost: not reachable dependency=allowance rows\n\
r1 2026-01-01T00:00:01.000Z INFO  request sent request=a1 endpoint=e1 wait_ms=3\n\
r2 2026-01-01T00:00:01.000Z INFO  request sent request=b2 endpoint=e1 wait_ms=3\n\
r2 2026-01-01T00:00:01.002Z INFO  endpoint gone: entry removed endpoint=e1 service=s\n\
r2 2026-01-01T00:00:01.003Z INFO  tokens lent account=school tokens=5\n\
r1 2026-01-01T00:00:01.004Z INFO  tokens borrowed account=school tokens=5\n\
r1 2026-01-01T00:00:01.005Z INFO  attempt failed: Lost(\"x y\") request=a1 endpoint=e1 failure=lost\n\
r1 2026-01-01T00:00:01.010Z INFO  request ended request=a1 account=school total_ms=12 outcome=outcome_unknown\n\
r1 2026-01-01T00:00:09.000Z INFO  tokens borrowed account=school tokens=9\n\
a line without a time\n";

fn lines(text: &str) -> Vec<LogLine> {
    text.lines().filter_map(LogLine::parse).collect()
}

#[test]
fn timeline_has_the_request_lines_and_their_context() {
    let timeline = RequestTimeline::of_request("a1", &lines(LOG_LINES));
    insta::assert_snapshot!(timeline.render(), @r#"
         -910 ms  r1  dependency lost: not reachable dependency=allowance rows
    *     -10 ms  r1  request sent endpoint=e1 wait_ms=3
           -8 ms  r2  endpoint gone: entry removed endpoint=e1 service=s
           -6 ms  r1  tokens borrowed account=school tokens=5
    *      -5 ms  r1  attempt failed: Lost("x y") endpoint=e1 failure=lost
    *      +0 ms  r1  request ended account=school total_ms=12 outcome=outcome_unknown
    "#);
}

/// Guards against a refusal for condemned content whose reason is in no line of the timeline, since the
/// verdict is older.
#[test]
fn timeline_of_a_request_with_condemned_content_has_the_verdict() {
    let text = "\
        r2 2026-01-01T00:00:01.000Z WARN  content condemned: requests with it crash endpoints key=k1 part=dead crashes=3 survivals=0\n\
        r2 2026-01-01T00:00:02.000Z WARN  content condemned: requests with it crash endpoints key=k2 part=beef crashes=3 survivals=0\n\
        r1 2026-01-01T00:10:00.000Z WARN  request with condemned content not sent request=a1 key=k1 part=dead\n\
        r1 2026-01-01T00:10:00.001Z INFO  request refused: requests with this content crashed endpoints before request=a1 reason=quarantined\n";
    insta::assert_snapshot!(RequestTimeline::of_request("a1", &lines(text)).render(), @r"
      -599001 ms  r2  content condemned: requests with it crash endpoints key=k1 part=dead crashes=3 survivals=0
    *      -1 ms  r1  request with condemned content not sent key=k1 part=dead
    *      +0 ms  r1  request refused: requests with this content crashed endpoints before reason=quarantined
    ");
}

#[test]
fn both_formats_are_parsed_alike() {
    let text = LogLine::parse("2026-01-01T00:00:00.000Z INFO  tokens lent account=school tokens=5");
    let json = LogLine::parse(
        r#"{"level":"INFO","message":"tokens lent","account":"school","tokens":"5","target":"relay","time":"2026-01-01T00:00:00.000Z"}"#,
    );
    assert_eq!(text, json);
    assert_eq!(text.unwrap().field("tokens"), Some("5"));
}

#[test]
fn unknown_request_has_an_empty_timeline() {
    assert_eq!(RequestTimeline::of_request("zz", &lines(LOG_LINES)), RequestTimeline::default());
}
