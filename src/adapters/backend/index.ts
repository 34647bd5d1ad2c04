/** Attempts at backend servers. */
export * from "./undici_backend_client.ts";
