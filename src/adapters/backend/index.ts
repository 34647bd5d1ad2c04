/** Sends attempts to backend servers. */
export * from "./undici_backend_client.ts";
