//! Declarations to witnesses, and what they state to the next process; both may be lost.

use rand::Rng as _;
use relay::allowance::{RouterProcess, WitnessDeclaration};

use crate::{ROUTERS, router::Router, world::World};

impl World {
    pub(crate) fn exchange_with_witnesses(&mut self, index: usize) {
        let now = self.now_of(index);
        let live = |it: &Router| it.down_until.is_none();
        let live_peers: Vec<RouterProcess> = (0..ROUTERS)
            .filter(|&other| other != index && live(&self.routers[other]))
            .map(|other| self.routers[other].identity())
            .collect();
        self.routers[index].allowances.choose_witnesses(&live_peers);
        let declared = self.routers[index].allowances.witness_declaration(now);
        if let Some((witnesses, declaration)) = declared {
            for witness in &witnesses {
                self.send_declaration(index, witness, declaration.clone());
            }
        }
        let Some((asked, about)) = self.routers[index].allowances.witness_query() else { return };
        for witness in asked {
            let found = self.routers.iter().find(|it| live(it) && it.identity() == witness);
            let statement = found.map(|it| it.records.statement(&about));
            if let Some(statement) = statement.filter(|_| self.rng.random_bool(0.5)) {
                self.routers[index].allowances.on_witness_statement(&witness, &about, &statement);
            }
        }
    }

    /// Sends a declaration to a witness; the declaration or its confirmation may be lost.
    pub(crate) fn send_declaration(
        &mut self,
        index: usize,
        witness: &RouterProcess,
        declaration: WitnessDeclaration,
    ) {
        let declarer = self.routers[index].identity();
        let found = self.routers.iter_mut().find(|it| it.identity() == *witness);
        let Some(router) = found.filter(|it| it.down_until.is_none()) else { return };
        if self.rng.random_bool(0.2) {
            return;
        }
        let number = declaration.number;
        assert!(router.records.store(declarer, declaration));
        if self.rng.random_bool(0.8) {
            self.routers[index].allowances.on_witness_confirmed(witness, number);
        }
    }
}
