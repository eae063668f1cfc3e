//! Tests of `cli`.

#[test]
fn help_names_every_command_setting_and_exit_code() {
    insta::assert_snapshot!(super::help());
}
