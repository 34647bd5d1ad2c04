/** Stand-ins for the systems with which an entry communicates. */
export * from "./deployment.ts";
export * from "./deployment_balancer.ts";
export * from "./deployment_files.ts";
export * from "./deployment_network.ts";
export * from "./deployment_operator.ts";
export * from "./platform_model.ts";
export * from "./relay.ts";
export * from "./relay_messages.ts";
export * from "./relayed_network.ts";
export * from "./stand_in_backend.ts";
export * from "./stand_in_caller.ts";
export * from "./stand_in_platform.ts";
