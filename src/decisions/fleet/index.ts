/** Look-ups over the configuration in force. */
export * from "./fleet_index.ts";
