/** Jobs on runners: what entries ask, and what the leader does. */
export * from "./advice_desk.ts";
export * from "./call_desk.ts";
export * from "./capacity_task.ts";
export * from "./controller_caller.ts";
export * from "./job_service.ts";
export * from "./lead_term.ts";
export * from "./leader_caller.ts";
export * from "./leader_watch.ts";
export * from "./operations_service.ts";
export * from "./operation_meter.ts";
export * from "./pace_task.ts";
export * from "./runner_fleet.ts";
export * from "./runner_registry.ts";
export * from "./scheduler.ts";
export * from "./scheduling_handlers.ts";
export * from "./scheduling_log.ts";
export * from "./wave_task.ts";
