/** Relaying of the leader's requests to runners by other controllers. */
export * from "./relayed_runner_client.ts";
export * from "./runner_relay.ts";
