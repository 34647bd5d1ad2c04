/** Schema of the daemon's settings, with the defaults. */
import * as v from "valibot";
import { connectionLimitsSchema, nameSchema } from "../../domain/index.ts";

const DEFAULT_HTTP_PORT = 7_070;
const DEFAULT_PEER_PORT = 7_071;
const MIN_SECRET_LENGTH = 16;
const DEFAULT_STOP_DEADLINE_MS = 60_000;
const DEFAULT_READINESS_GRACE_MS = 1_000;

const portSchema = v.pipe(
  v.number(),
  v.integer(),
  v.minValue(0),
  v.maxValue(65_535),
);
const hostSchema = v.pipe(v.string(), v.ip());

/** Returns the schema of an address at which this entry listens. */
function addressSchema(defaultPort: number) {
  return v.optional(
    v.strictObject({
      host: v.optional(hostSchema, "127.0.0.1"),
      port: v.optional(portSchema, defaultPort),
    }),
    {},
  );
}

/** Schema of another entry of the deployment. */
export const peerSettingsSchema = v.strictObject({
  entryId: nameSchema,
  host: hostSchema,
  port: portSchema,
  zone: nameSchema,
  /** Whether the entry has a disk and is a first voter of a new deployment. */
  voter: v.optional(v.boolean(), false),
});

/** Schema of {@link Settings}. */
export const settingsSchema = v.strictObject({
  entryId: v.optional(nameSchema, "entry-1"),
  region: v.optional(nameSchema, "region-1"),
  zone: v.optional(nameSchema, "zone-1"),
  /** Folder of the durable state; null on an entry without a disk. */
  dataFolder: v.optional(
    v.nullable(v.pipe(v.string(), v.minLength(1))),
    "data",
  ),
  /**
   * Whether this entry is a first voter of a new deployment, and can be added as
   * a voter to an existing one.
   */
  voter: v.optional(v.boolean(), true),
  http: addressSchema(DEFAULT_HTTP_PORT),
  /** Limits for what clients leave open at the HTTP interface. */
  connectionLimits: connectionLimitsSchema,
  peer: addressSchema(DEFAULT_PEER_PORT),
  peers: v.optional(v.array(peerSettingsSchema), []),
  /** File with the secret that all entries share; null if there are no peers. */
  peerSecretFile: v.optional(v.nullable(v.string()), null),
  /**
   * File with the bootstrap operator key, relative to the data folder or, without
   * one, to the working directory. An entry with a data folder creates a missing
   * file.
   */
  operatorKeyFile: v.optional(v.string(), "operator.key"),
  /** URL of the platform; null if this entry does not control one. */
  platformUrl: v.optional(v.nullable(v.pipe(v.string(), v.url())), null),
  logLevel: v.optional(v.picklist(["debug", "info", "warn", "error"]), "info"),
  /**
   * Maximum number of log lines with the same message in a second. Further lines
   * are dropped and counted.
   */
  logLinesPerSecond: v.optional(
    v.pipe(v.number(), v.integer(), v.minValue(1)),
    200,
  ),
  /**
   * How long a planned stop still accepts requests while the entry reports not
   * ready, in milliseconds.
   */
  readinessGraceMs: v.optional(
    v.pipe(v.number(), v.minValue(0)),
    DEFAULT_READINESS_GRACE_MS,
  ),
  /** Maximum time that a planned stop waits for running requests, in milliseconds. */
  stopDeadlineMs: v.optional(
    v.pipe(v.number(), v.minValue(0)),
    DEFAULT_STOP_DEADLINE_MS,
  ),
});

/** Settings of one daemon. */
export type Settings = v.InferOutput<typeof settingsSchema>;
/** Settings of another entry. */
export type PeerSettings = v.InferOutput<typeof peerSettingsSchema>;

/** Minimum length of a peer secret, in characters. */
export const PEER_SECRET_MIN_LENGTH = MIN_SECRET_LENGTH;
