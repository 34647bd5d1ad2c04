/** Replication of the durable state behind the agreement port. */
export * from "./single_agreement.ts";
