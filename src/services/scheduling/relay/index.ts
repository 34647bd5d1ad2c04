/** Relaying of the leader's requests to runners by other controllers. */
export { MAX_DIRECT_RUNNER_COUNT } from "./relay_timing.ts";
export * from "./relayed_runner_client.ts";
export * from "./runner_relay.ts";
