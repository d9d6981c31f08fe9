//! Choosing engines for the calls of all nodes at one place.
//!
//! A node that sees a part of the calls only sends long prompts to engines that others keep busy. So the owner
//! of a service of engines (or of a shard of a large one) chooses for all, and hears when a prompt has been
//! read and when a call ends. When it does not answer soon the asking node chooses alone.

use super::Traffic;
use super::call::Call;
use super::peers::Owner;
use super::pools::PoolId;
use barleyspool_core::{Choose, Chosen, Need, SendEnd, SendKey, Shard, Time, rendezvous};
use barleyspool_wire::pieces::{PlaceRequest, PlaceStep, Placed};
use barleyspool_wire::timer;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;

/// How long the owner may take to answer.
const ANSWER: Duration = Duration::from_millis(60);
/// A placement of which nothing was heard for this long is forgotten, in microseconds.
const FORGET_US: u64 = 30_000_000;

/// Forgotten placements are looked for whenever their number is a multiple of this.
const LOOK_EVERY: usize = 64;

/// The calls that this node has placed for others and for itself.
#[derive(Debug, Default)]
pub struct Placements {
    sends: HashMap<String, (SendKey, Time)>,
}

/// A call that an owner placed; tells the owner how it goes on.
pub struct Placement {
    traffic: Rc<Traffic>,
    owner: Owner,
    call: String,
    first_output: bool,
    ended: bool,
}

impl Placement {
    /// The first output came.
    pub fn first_output(&mut self) {
        if !std::mem::replace(&mut self.first_output, true) {
            self.tell(PlaceStep::FirstOutput);
        }
    }

    /// The send ended.
    pub fn end(&mut self, end: SendEnd) {
        let good = matches!(
            end,
            SendEnd::Answered { .. }
                | SendEnd::Refused {
                    inputs_gone: true,
                    ..
                }
        );
        self.ended = true;
        self.tell(if good { PlaceStep::Ended } else { PlaceStep::Failed });
    }

    fn tell(&self, step: PlaceStep) {
        match &self.owner {
            Owner::Me => take_step(&self.traffic, &self.call, step),
            Owner::Other(address) => {
                let (traffic, address, call) = (Rc::clone(&self.traffic), address.clone(), self.call.clone());
                spawn_local(async move { traffic.peers.placed(&address, call, step).await });
            }
        }
    }
}

impl Drop for Placement {
    fn drop(&mut self) {
        if !self.ended {
            self.tell(PlaceStep::Ended);
        }
    }
}

/// Lets the owner of the call's service choose an engine; `None` when it does not, or chooses one that this
/// node cannot use.
pub async fn place(call: &Call) -> Option<(Chosen, Placement)> {
    let traffic = &call.traffic;
    let request = request(call)?;
    let id = PoolId {
        service: request.service.clone(),
        shard: request.shard,
    };
    let key = request.call.clone();
    let owner = traffic.peers.owner(traffic, &id);
    let placed = match &owner {
        Owner::Me => place_here(traffic, &request),
        Owner::Other(address) => {
            let asked = traffic.peers.place(address, request);
            timer::timeout(ANSWER, asked).await.ok().flatten()
        }
    };
    let placement = Placement {
        traffic: Rc::clone(traffic),
        owner,
        call: key,
        first_output: false,
        ended: false,
    };
    let placed = placed?;
    let mut chosen = traffic
        .forwarder
        .borrow_mut()
        .usable(traffic.now(), &placed.target)?;
    chosen.source = placed.source;
    Some((chosen, placement))
}

/// The shard of its engines at which a call is placed: calls with the same shared prefix meet at one.
pub fn shard(call: &Call, need: &Need) -> Shard {
    let key = match need.prefix {
        0 => rendezvous::text_key(&call.head.id),
        prefix => u128::from(prefix),
    };
    call.traffic.plan().engine_shard(&need.service, key)
}

fn request(call: &Call) -> Option<PlaceRequest> {
    let need = call.need();
    let shard = shard(call, &need);
    let forwarder = call.traffic.forwarder.borrow();
    let avoid = need.avoid.iter().filter_map(|key| forwarder.target(*key));
    Some(PlaceRequest {
        // Another send of the same call is another placement.
        call: format!("{}/{}", call.head.id, need.avoid.len()),
        shard: shard.number,
        engine_memory: need.engine_memory?,
        avoid: avoid.map(|record| record.entry.id.clone()).collect(),
        service: need.service,
        route: need.route,
        prefix: need.prefix,
        prefix_tokens: need.prefix_tokens,
        prompt_tokens: need.prompt_tokens,
        zone: call.zone_of_inputs(),
        input_bytes: need.input_bytes,
        copies: need.copies,
    })
}

// ----------------------------------------------------------------------------
// As the owner

/// Chooses an engine for a call of any node.
pub fn place_here(traffic: &Traffic, request: &PlaceRequest) -> Option<Placed> {
    let now = traffic.now();
    let shard = Shard {
        number: request.shard,
        of: traffic.plan().engine_shards(&request.service),
    };
    let mut forwarder = traffic.forwarder.borrow_mut();
    let avoid = request.avoid.iter().filter_map(|id| forwarder.key(id)).collect();
    let need = Need {
        service: request.service.clone(),
        route: request.route.clone(),
        engine_memory: Some(request.engine_memory),
        prefix: request.prefix,
        prefix_tokens: request.prefix_tokens,
        prompt_tokens: request.prompt_tokens,
        zone: request.zone.clone(),
        input_bytes: request.input_bytes,
        avoid,
        copies: request.copies,
        placing: Some(shard),
    };
    let Choose::Send(chosen) = forwarder.choose(now, &need) else {
        return None;
    };
    let send = forwarder.begin(now, &need, chosen.target);
    let mut placements = traffic.placements.borrow_mut();
    placements.sends.insert(request.call.clone(), (send, now));
    let forgotten = |at: &Time| now.since(*at).0 > FORGET_US;
    if placements.sends.len().is_multiple_of(LOOK_EVERY) {
        placements.sends.retain(|_, (send, at)| {
            let keep = !forgotten(at);
            if !keep {
                forwarder.abandon(*send);
            }
            keep
        });
    }
    Some(Placed {
        target: chosen.id,
        source: chosen.source,
    })
}

/// A call that was placed here goes on.
pub fn take_step(traffic: &Traffic, call: &str, step: PlaceStep) {
    let now = traffic.now();
    let mut placements = traffic.placements.borrow_mut();
    let Some((send, _)) = placements.sends.get(call).copied() else {
        return;
    };
    let mut forwarder = traffic.forwarder.borrow_mut();
    match step {
        PlaceStep::FirstOutput => return forwarder.first_output(now, send),
        PlaceStep::Ended => forwarder.abandon(send),
        PlaceStep::Failed => {
            forwarder.end(now, send, SendEnd::BrokenOff);
        }
    }
    placements.sends.remove(call);
}
