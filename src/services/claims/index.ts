/** Durable claims on idempotency keys, so that a request runs at most once. */
export * from "./claim_answer.ts";
export * from "./claim_service.ts";
