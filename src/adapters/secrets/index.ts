/** Creates secrets and computes digests. */
export * from "./sha_secrets.ts";
