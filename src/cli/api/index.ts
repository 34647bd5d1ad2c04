/** The operators' HTTP interface as the command line uses it. */
export * from "./api_client.ts";
export * from "./schemas.ts";
