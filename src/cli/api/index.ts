/** The client of the operators' HTTP interface, and its schemas. */
export * from "./api_client.ts";
export * from "./schemas.ts";
