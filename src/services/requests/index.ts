/** Request handling: admission, permits, attempts and exact outcomes. */
export * from "./answer_body.ts";
export * from "./attempt_runner.ts";
export * from "./backend_health.ts";
export * from "./guarded_permits.ts";
export * from "./outcome_recorder.ts";
export * from "./refusals.ts";
export * from "./request_body.ts";
export * from "./request_claim.ts";
export * from "./request_history.ts";
export * from "./request_run.ts";
export * from "./request_service.ts";
