/** Tasks: groups that end together, and waiting without spinning. */
export * from "./notifier.ts";
export * from "./task_group.ts";
