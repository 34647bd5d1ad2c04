/** The commands of the command line. */
export * from "./apply.ts";
export * from "./entries.ts";
export * from "./explain.ts";
export * from "./explain_placement.ts";
export * from "./get.ts";
export * from "./job_cancel.ts";
export * from "./job_get.ts";
export * from "./job_submit.ts";
export * from "./key_create.ts";
export * from "./key_withdraw.ts";
export * from "./label.ts";
export * from "./plan.ts";
export * from "./scheduling_list.ts";
export * from "./status.ts";
export * from "./voter_change.ts";
export * from "./watch.ts";
