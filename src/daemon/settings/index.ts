/** Settings of the daemon. */
export * from "./load_settings.ts";
export * from "./settings_schema.ts";
