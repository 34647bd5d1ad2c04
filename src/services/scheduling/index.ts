/**
 * Jobs on runners: the leader's tasks and services, and clients of the leader.
 */
export * from "./advice_task.ts";
export * from "./job_call_forwarder.ts";
export * from "./capacity_task.ts";
export * from "./controller_leader_client.ts";
export * from "./event_loop_watch.ts";
export * from "./job_admission.ts";
export * from "./job_call.ts";
export * from "./job_service.ts";
export * from "./leadership_task.ts";
export * from "./leader_answer.ts";
export * from "./leader_client.ts";
export * from "./leader_watch.ts";
export * from "./leader_work.ts";
export * from "./operations_service.ts";
export * from "./operation_meter.ts";
export * from "./pace_task.ts";
export * from "./pool_accounts.ts";
export * from "./placement_explainer.ts";
export * from "./pool_loads.ts";
export * from "./relay/index.ts";
export * from "./runner_announcer.ts";
export * from "./runner_fleet.ts";
export * from "./runner_registry.ts";
export * from "./runner_status.ts";
export * from "./runner_trust.ts";
export * from "./schedule_explainer.ts";
export * from "./room_watch.ts";
export * from "./scheduler.ts";
export * from "./scheduling_handlers.ts";
export * from "./scheduling_log.ts";
export * from "./start_confirmer.ts";
export * from "./wave_task.ts";
export * from "./watched_log_store.ts";
export * from "./zone_order_sender.ts";
export * from "./zone_service.ts";
