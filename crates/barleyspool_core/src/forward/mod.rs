//! Decisions for forwarded calls: a route, a graph of stages, and one target that answers the call.
//!
//! [`crate::Router`] passes payloads from stage to stage and answers under the caller's key. Here the call
//! itself is sent unchanged to the last target; the stages before it keep their results on the targets that
//! computed them and pass on only handles. As everywhere in this crate, the types do no I/O and are driven
//! with the time and events: [`Forwarder`] chooses targets and limits retries, [`StageProgress`] tracks the
//! graph of stages, and [`PieceQueue`] batches pieces of many requests into calls to a stage pool.
//!
//! A piece is a unit of the work of one stage for one request, which a target of the pool computes by itself
//! or together with others in a batch call. It reads the results of earlier stages or, if its stage has no
//! predecessors, is computed from a key that is sent with it. The result of a piece is the data that the
//! target computed and keeps in its memory. A handle names a result; it starts with the address of the
//! target that holds the result, followed by a slash (see [`handle_address`]).

mod announced_pieces;
mod answer_fault;
mod answer_id;
mod answer_memory;
mod answer_trail;
mod brittle_table;
mod brittle_targets;
mod call_head;
mod call_space;
mod capacity_usage;
mod catalog;
mod catalog_change;
mod catalog_store;
mod decaying_count;
mod engine_speed;
mod evacuations;
mod feed_cursor;
mod forecast_correction;
mod forwarder;
mod holder_requests;
mod initial_list_read;
mod input_release;
mod leaving_incarnations;
mod list_transfer;
mod offered_pieces;
mod organisation_shares;
mod packed_list;
mod piece_batching;
mod piece_order;
mod piece_plan_update;
mod piece_queue;
mod piece_timeouts;
mod plan;
mod planned_stop;
mod pool_demand;
mod pool_shards;
mod pool_target;
mod prefix_tracker;
mod rank_waits;
mod ranked_pieces;
mod rate_limited_targets;
mod recent_arrivals;
mod result_store;
mod retry_schedule;
mod retry_window;
mod second_answer;
mod send_end;
mod sends;
mod service_set;
mod service_spec;
mod service_targets;
mod slot_limit;
mod source_role;
mod source_watch;
mod stage_progress;
mod start_hold;
mod starving_orders;
mod target_choice;
mod target_cooldown;
mod target_counts;
mod target_entry;
mod target_history;
mod target_load;
mod target_log;
mod target_query;
mod target_reach;
mod target_record;
mod target_store;
mod version_history;
mod wait_estimate;
mod wait_limit;
mod wait_report;

pub use announced_pieces::{ANNOUNCEMENT_TTL, AnnouncedPieces};
pub use answer_fault::AnswerFault;
pub use answer_id::AnswerId;
pub use answer_memory::{AnswerDrop, AnswerKey, AnswerMemory};
pub use answer_trail::AnswerTrail;
pub use brittle_table::BrittleTable;
pub use brittle_targets::{BrittleReport, Reservation};
pub use call_head::{CallHead, PromptPart};
pub use capacity_usage::{CapacityUsage, HeldCapacity};
pub use catalog::{
    CallerLimits, Catalog, CatalogDocument, CatalogError, ForwardOrganisation, Route, RouteKind, StageSpec,
    TrafficShare,
};
pub use catalog_change::CatalogChange;
pub use catalog_store::{CatalogStore, OfferResult};
pub use engine_speed::EngineSpeed;
pub use evacuations::Evacuations;
pub use feed_cursor::{FeedCursor, FeedStep, WATCH_MARGIN, watch_timeout};
pub use forecast_correction::ForecastCorrection;
pub use forwarder::{ForwardSettings, Forwarder, SendKey};
pub use holder_requests::{HolderRequests, RequestEnd};
pub use initial_list_read::{FleetView, InitialListRead};
pub use input_release::InputReleases;
pub use leaving_incarnations::{LeavingIncarnations, LeavingUpdate};
pub use list_transfer::{ListHolder, ListRequester, ListTransfers, TransferKey, choose_list_holder};
pub use offered_pieces::OfferedPieces;
pub use organisation_shares::OrganisationShares;
pub use packed_list::{PackedList, UnpackError};
pub use piece_order::{
    BatchCall, BatchKey, BatchOutcome, OrderKey, OrderOutcome, PieceOrder, PieceOutcome, PieceRequest,
};
pub use piece_queue::PieceQueue;
pub use plan::{ForwardPlan, MemberView, owner_among, retain_named};
pub use planned_stop::{PlannedStop, StopPhase};
pub use pool_demand::PoolDemand;
pub use pool_shards::PoolShards;
pub use pool_target::PoolTarget;
pub use prefix_tracker::PrefixTracker;
pub use rank_waits::RankWaits;
pub use ranked_pieces::RankedPieces;
pub use rate_limited_targets::{Grant, NO_CAPACITY_TTL, ReportedLimit};
pub use result_store::handle_address;
pub use retry_schedule::{MAX_RETRY_WAIT, RefusedCall, RetrySchedule};
pub use retry_window::RetryWindow;
pub use second_answer::{SecondAnswer, has_status_line};
pub use send_end::{NextStep, SendEnd, SendHistory, next_step};
pub use service_set::ServiceSet;
pub use service_spec::{ColdSpec, EngineSpec, ForwardService, PoolSpec};
pub use service_targets::{ServiceTargets, Shards, service_targets};
pub use slot_limit::{SlotLimit, SlotOutcome};
pub use source_role::{ReaderCandidate, SourceRole, source_recipients, source_role};
pub use source_watch::{HeldRevisions, SourceWatch};
pub use stage_progress::{ReadyStage, StageProgress};
pub use start_hold::hold_until;
pub use starving_orders::StarvedOrder;
pub use target_cooldown::{CooldownReport, MAX_COOLDOWN};
pub use target_counts::TargetCounts;
pub use target_entry::{TargetEntry, TargetIncarnation, TargetTable, TargetTimes};
pub use target_load::TargetLoad;
pub use target_query::{ChooseResult, Shard, TargetChoice, TargetQuery, shard_key};
pub use target_reach::{CheckResult, ReachChange, TargetReach};
pub use target_record::{TargetKey, TargetRecord};
pub use target_store::{EXPIRY_GRACE, ExpiringEntries, OutdatedReport, TargetChange, TargetStore};
pub use wait_limit::wait_limit;
pub use wait_report::WaitReport;
