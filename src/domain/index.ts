/** Schemas, the types inferred from them, and the closed list of errors. */
export * from "./assignment.ts";
export * from "./audit_trail.ts";
export * from "./backend_server.ts";
export * from "./bounded_map.ts";
export * from "./change.ts";
export * from "./claim_table.ts";
export * from "./command.ts";
export * from "./decision_record.ts";
export * from "./errors.ts";
export * from "./fleet_snapshot.ts";
export * from "./fleet_state.ts";
export * from "./labels.ts";
export * from "./membership.ts";
export * from "./operation_table.ts";
export * from "./request.ts";
export * from "./resources/index.ts";
export * from "./validation.ts";
