/** Limits of an HTTP interface for what its clients leave open. */
import * as v from "valibot";

const DEFAULT_MAX_CONNECTION_COUNT = 2_000;
const DEFAULT_MAX_HELD_BYTES = 32 * 1_024 * 1_024;
const DEFAULT_MAX_PIPELINED_COUNT = 100;
const DEFAULT_MAX_OPEN_REQUEST_COUNT = 4_096;
const DEFAULT_STALL_MS = 15_000;

function createLimitSchema(defaultValue: number) {
  return v.optional(
    v.pipe(v.number(), v.integer(), v.minValue(1)),
    defaultValue,
  );
}

/** Schema of {@link ConnectionLimits}. */
export const connectionLimitsSchema = v.optional(
  v.strictObject({
    /** Open connections. */
    maxConnectionCount: createLimitSchema(DEFAULT_MAX_CONNECTION_COUNT),
    /** Bytes that are allocated for bodies until their requests are answered. */
    maxHeldBytes: createLimitSchema(DEFAULT_MAX_HELD_BYTES),
    /** Requests of one connection whose answers the client has not taken. */
    maxPipelinedCount: createLimitSchema(DEFAULT_MAX_PIPELINED_COUNT),
    /** The same of all connections, with requests that still run. */
    maxOpenRequestCount: createLimitSchema(DEFAULT_MAX_OPEN_REQUEST_COUNT),
    /**
     * Time in which an unfinished body or an unread answer makes no progress, in
     * milliseconds.
     */
    stallMs: createLimitSchema(DEFAULT_STALL_MS),
  }),
  {},
);

/** Limits of one HTTP interface. */
export type ConnectionLimits = v.InferOutput<typeof connectionLimitsSchema>;

/** The default of each limit. */
export const DEFAULT_CONNECTION_LIMITS: ConnectionLimits = v.parse(
  connectionLimitsSchema,
  undefined,
);
