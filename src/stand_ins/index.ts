/** Small stand-ins for the systems around an entry. */
export * from "./stand_in_backend.ts";
export * from "./platform_model.ts";
export * from "./stand_in_platform.ts";
