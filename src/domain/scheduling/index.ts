/** Jobs, runs, runners, the catalog and waves. */
export * from "./amounts.ts";
export * from "./catalog.ts";
export * from "./ended_runners.ts";
export * from "./incarnation_map.ts";
export * from "./job.ts";
export * from "./job_record.ts";
export * from "./job_table.ts";
export * from "./queue_index.ts";
export * from "./runner.ts";
export * from "./runner_bounds.ts";
export * from "./runner_evidence.ts";
export * from "./runner_loads.ts";
export * from "./scheduling_command.ts";
export * from "./scheduling_item.ts";
export * from "./scheduling_state.ts";
export * from "./team_index.ts";
export * from "./unconfirmed_starts.ts";
