/** Durable claims on idempotency keys. */
export * from "./claim_answer.ts";
export * from "./claim_service.ts";
