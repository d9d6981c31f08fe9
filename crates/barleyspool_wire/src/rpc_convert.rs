//! Conversions between the generated RPC types and the types of the core.

use crate::rpc;
use barleyspool_core::{Call, Earlier, Outcome, RefusalOrigin, Revision, Time, Verdict};
use std::sync::Arc;

/// Converts a request to the core's type.
pub fn call_from_request(request: rpc::RunRequest) -> Call {
    let earlier = match request.earlier() {
        rpc::EarlierSends::None => Earlier::None,
        rpc::EarlierSends::AllNotRun => Earlier::AllNotRun,
        rpc::EarlierSends::Uncertain => Earlier::Uncertain,
    };
    // A value that this version does not know is treated as the worst case: the caller is uncertain.
    let known = rpc::EarlierSends::try_from(request.earlier).is_ok();
    Call {
        earlier: if known { earlier } else { Earlier::Uncertain },
        deadline: Time::from_millis(request.deadline_ms),
        unrepeatable: request.unrepeatable,
        seen_revision: Revision(request.seen_revision),
        payload: Arc::from(request.payload),
        key: request.key,
        organisation: request.organisation,
        pipeline: request.pipeline,
        prefix: request.prefix,
    }
}

/// Converts an outcome to the message for the caller. `step` is the name of the service at which a refusal arose, not
/// the index of a step. The field `peer` of the message is the origin of a refusal: a target or an entry node, as
/// [`origin_name`] formats it.
pub fn outcome_message(
    outcome: &Outcome,
    step: &str,
    redirect: Option<String>,
    revision: Revision,
) -> rpc::Outcome {
    let mut message = rpc::Outcome {
        revision: revision.0,
        ..rpc::Outcome::default()
    };
    match outcome {
        Outcome::Complete { length } => {
            message.set_verdict(rpc::Verdict::Complete);
            message.length = *length;
        }
        Outcome::Refused(refusal) => {
            message.set_verdict(match refusal.verdict {
                Verdict::NotRun => rpc::Verdict::NotRun,
                Verdict::Complete | Verdict::Unknown => rpc::Verdict::Unknown,
            });
            message.reason = refusal.reason.name().to_owned();
            message.step = step.to_owned();
            message.peer = refusal.origin.map(origin_name).unwrap_or_default();
            message.come_back_ms = refusal.retry_after.ceil_millis();
            message.redirect = redirect.unwrap_or_default();
        }
    }
    message
}

/// The name of the origin of a refusal, a target or an entry node, for callers and operators.
pub fn origin_name(origin: RefusalOrigin) -> String {
    match origin {
        RefusalOrigin::Target(id) => format!("target {id}"),
        RefusalOrigin::Node(id) => format!("node {id}"),
    }
}
