/** Secrets and digests. */
export * from "./sha_secrets.ts";
