/** Ports: interfaces that the services use and the adapters implement. */
export * from "./advice_client.ts";
export * from "./agreement.ts";
export * from "./backend_client.ts";
export * from "./clock.ts";
export * from "./file_system.ts";
export * from "./leader_metrics.ts";
export * from "./log_store.ts";
export * from "./logger.ts";
export * from "./metrics.ts";
export * from "./peer_network.ts";
export * from "./platform.ts";
export * from "./process_usage.ts";
export * from "./random.ts";
export * from "./runner_client.ts";
export * from "./scheduling_metrics.ts";
export * from "./secrets.ts";
export * from "./vm_control.ts";
