/** Messages of the peer protocol, on one connection between two entries. */
import * as v from "valibot";
import { failureSchema } from "../../domain/index.ts";

const NONCE_LENGTH = 64;
const nonceSchema = v.pipe(v.string(), v.hexadecimal(), v.length(NONCE_LENGTH));
const macSchema = v.pipe(v.string(), v.hexadecimal(), v.length(NONCE_LENGTH));

/**
 * Schema of the first message of the connecting side. `wantedId` is the entry
 * that it means to reach.
 */
export const helloSchema = v.strictObject({
  type: v.literal("hello"),
  entryId: v.string(),
  wantedId: v.string(),
  nonce: nonceSchema,
});

/** Schema of the first message of the accepting side. */
export const challengeSchema = v.strictObject({
  type: v.literal("challenge"),
  nonce: nonceSchema,
  mac: macSchema,
});

/** Schema of the second message of the connecting side. */
export const proofSchema = v.strictObject({
  type: v.literal("proof"),
  mac: macSchema,
});

/** Schema of a call. */
export const callSchema = v.strictObject({
  type: v.literal("call"),
  callId: v.number(),
  method: v.string(),
  body: v.unknown(),
});

/** Schema of the answer to a call: a value or a failure. */
export const answerSchema = v.strictObject({
  type: v.literal("answer"),
  callId: v.number(),
  value: v.optional(v.unknown()),
  failure: v.optional(failureSchema),
});

/** A call on the wire. */
export type CallMessage = v.InferOutput<typeof callSchema>;
/** An answer on the wire. */
export type AnswerMessage = v.InferOutput<typeof answerSchema>;
