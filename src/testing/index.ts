/**
 * Fixtures and fakes that the tests, the quickstart and the benchmarks share.
 */
export * from "./cut_leader_off.ts";
export * from "./controller_fixture.ts";
export * from "./daemon_cluster.ts";
export * from "./daemon_process.ts";
export * from "./describe.ts";
export * from "./fake_agreement.ts";
export * from "./fake_backends.ts";
export * from "./fake_clock.ts";
export * from "./fake_cluster.ts";
export * from "./fake_entry.ts";
export * from "./fake_file_system.ts";
export * from "./fake_leadership.ts";
export * from "./fake_log.ts";
export * from "./fake_network.ts";
export * from "./fake_permits.ts";
export * from "./fake_ports.ts";
export * from "./fifo_permits.ts";
export * from "./free_port.ts";
export * from "./permit_fleet.ts";
export * from "./process_bounds.ts";
export * from "./recording_backend.ts";
export * from "./pausable_clock.ts";
export * from "./replica_history.ts";
export * from "./test_runner.ts";
export * from "./uncontrolled_clients.ts";
