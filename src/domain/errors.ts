/**
 * The closed list of error kinds, and the table that maps each kind to its
 * answer. HTTP, the peer protocol and the command line all use this table.
 */
import * as v from "valibot";

/** Every kind of failure that the system can report. */
export const ERROR_KINDS = [
  "invalidInput",
  "unknownKind",
  "notFound",
  "jobUnknown",
  "noCatalog",
  "methodNotAllowed",
  "bodyTooLarge",
  "unauthenticated",
  "forbidden",
  "conflict",
  "operationIdReused",
  "notLeader",
  "noQuorum",
  "staleConfiguration",
  "shuttingDown",
  "readOnly",
  "overloaded",
  "teamLimitReached",
  "zoneOut",
  "noBackendServer",
  "neverRunnable",
  "expired",
  "cancelled",
  "stillRunning",
  "outcomeUnknown",
  "answerTruncated",
  "backendServerFailed",
  "peerUnreachable",
  "diskDamaged",
  "invalidSetting",
  "internal",
] as const;

/** Schema of {@link ErrorKind}. */
export const errorKindSchema: v.PicklistSchema<typeof ERROR_KINDS, undefined> =
  v.picklist(ERROR_KINDS);

/** One kind of failure. */
export type ErrorKind = v.InferOutput<typeof errorKindSchema>;

/** How a kind of failure is answered. */
export interface ErrorAnswer {
  /** Status of the HTTP answer. */
  readonly httpStatus: number;
  /** Exit code of the command line. */
  readonly exitCode: number;
  /** Whether the work of the request certainly did not run. */
  readonly notRun: boolean;
  /** Whether the same request, unchanged, may succeed later. */
  readonly retryable: boolean;
}

/** The answer to every error kind. */
export const ERROR_TABLE: Readonly<Record<ErrorKind, ErrorAnswer>> = {
  invalidInput: createAnswer(400, 2, true, false),
  unknownKind: createAnswer(404, 2, true, false),
  notFound: createAnswer(404, 4, true, false),
  jobUnknown: createAnswer(410, 4, true, false),
  noCatalog: createAnswer(503, 6, true, true),
  methodNotAllowed: createAnswer(405, 2, true, false),
  bodyTooLarge: createAnswer(413, 2, true, false),
  unauthenticated: createAnswer(401, 3, true, false),
  forbidden: createAnswer(403, 3, true, false),
  conflict: createAnswer(409, 5, true, false),
  operationIdReused: createAnswer(422, 5, true, false),
  notLeader: createAnswer(503, 6, true, true),
  noQuorum: createAnswer(503, 6, false, true),
  staleConfiguration: createAnswer(503, 6, true, true),
  shuttingDown: createAnswer(503, 6, true, true),
  readOnly: createAnswer(507, 6, true, true),
  overloaded: createAnswer(503, 6, true, true),
  teamLimitReached: createAnswer(429, 6, true, true),
  zoneOut: createAnswer(503, 6, true, true),
  noBackendServer: createAnswer(503, 6, true, true),
  neverRunnable: createAnswer(422, 2, true, false),
  expired: createAnswer(504, 6, true, true),
  cancelled: createAnswer(499, 6, true, true),
  stillRunning: createAnswer(409, 7, false, true),
  outcomeUnknown: createAnswer(502, 7, false, false),
  answerTruncated: createAnswer(502, 7, false, false),
  backendServerFailed: createAnswer(502, 7, false, false),
  peerUnreachable: createAnswer(503, 6, true, true),
  diskDamaged: createAnswer(500, 8, true, false),
  invalidSetting: createAnswer(400, 2, true, false),
  internal: createAnswer(500, 1, false, false),
};

function createAnswer(
  httpStatus: number,
  exitCode: number,
  notRun: boolean,
  retryable: boolean,
): ErrorAnswer {
  return { httpStatus, exitCode, notRun, retryable };
}

/** Schema of {@link Failure}. */
export const failureSchema = v.object({
  kind: errorKindSchema,
  message: v.string(),
  path: v.optional(v.string()),
  remedy: v.optional(v.string()),
  retryAfterMs: v.optional(v.number()),
  decisionId: v.optional(v.string()),
  detail: v.optional(v.unknown()),
});

/** A failure as it is passed between modules and sent between processes. */
export type Failure = v.InferOutput<typeof failureSchema>;

/** Optional parts of a {@link Failure}. */
export type FailureOptions = Omit<Failure, "kind" | "message">;

/**
 * Creates a failure.
 *
 * @param kind - Kind of the failure.
 * @param message - What failed, with the setting or resource and its value.
 * @param options - Path in the input, remedy, delay before a retry (ms), id of
 * the decision record, and details.
 * @returns The failure.
 */
export function createFailure(
  kind: ErrorKind,
  message: string,
  options: FailureOptions = {},
): Failure {
  return { kind, message, ...options };
}

/**
 * Looks up how a failure is answered.
 *
 * @param failure - Any failure.
 * @returns The row of {@link ERROR_TABLE} for its kind.
 */
export function findAnswer(failure: Failure): ErrorAnswer {
  return ERROR_TABLE[failure.kind];
}
