/** Services connect the decision classes to the ports. */
export * from "./backend_directory.ts";
export * from "./claims/index.ts";
export * from "./controller/index.ts";
export * from "./decision_recorder.ts";
export * from "./explain/index.ts";
export * from "./explain_service.ts";
export * from "./fleet_explainer.ts";
export * from "./operator_service.ts";
export * from "./permits.ts";
export * from "./plan_service.ts";
export * from "./permits/index.ts";
export * from "./requests/index.ts";
export * from "./scheduling/index.ts";
