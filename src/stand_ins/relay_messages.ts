/** Messages between a test process and the process that runs its relays. */
import * as v from "valibot";

/** Schema of {@link RelayRequest}. */
export const relayRequestSchema = v.variant("type", [
  v.object({
    type: v.literal("start"),
    entries: v.array(v.object({ entryId: v.string(), peerPort: v.number() })),
    delayMs: v.number(),
  }),
  v.object({ type: v.literal("isolate"), entryId: v.string() }),
  v.object({
    type: v.literal("cutOneWay"),
    sender: v.string(),
    receiver: v.string(),
  }),
  v.object({ type: v.literal("heal") }),
  v.object({ type: v.literal("countBytes"), entryId: v.string() }),
]);

/** A request of a test process to the process of the relays. */
export type RelayRequest = v.InferOutput<typeof relayRequestSchema>;

/** Schema of {@link RelayAnswer}. */
export const relayAnswerSchema = v.object({
  ports: v.optional(v.array(v.object({
    from: v.string(),
    to: v.string(),
    port: v.number(),
  }))),
  byteCount: v.optional(v.number()),
});

/**
 * The answer to a {@link RelayRequest}; answers come in the order of requests.
 */
export type RelayAnswer = v.InferOutput<typeof relayAnswerSchema>;
