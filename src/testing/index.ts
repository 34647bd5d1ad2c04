/** What tests, quickstart and bench share. */
export * from "./daemon_process.ts";
export * from "./describe.ts";
export * from "./fake_agreement.ts";
export * from "./fake_backends.ts";
export * from "./fake_clock.ts";
export * from "./fake_entry.ts";
export * from "./fake_file_system.ts";
export * from "./fake_network.ts";
export * from "./fake_permits.ts";
export * from "./fake_ports.ts";
export * from "./free_port.ts";
export * from "./test_runner.ts";
