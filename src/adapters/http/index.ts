/** The HTTP front end of an entry. */
export * from "./backend_routes.ts";
export * from "./caller_routes.ts";
export * from "./entry_routes.ts";
export * from "./exchange.ts";
export * from "./health_routes.ts";
export * from "./http_server.ts";
export * from "./job_routes.ts";
export * from "./operator_routes.ts";
export * from "./plan_routes.ts";
