/** Settings of the daemon: schema and defaults side by side. */
import * as v from "valibot";
import { nameSchema } from "../../domain/index.ts";

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

/** Schema of the address of this entry for one protocol. */
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
  /** Whether the entry has a disk and votes when the deployment is new. */
  voter: v.optional(v.boolean(), false),
});

/** Schema of {@link Settings}. */
export const settingsSchema = v.strictObject({
  entryId: v.optional(nameSchema, "entry-1"),
  region: v.optional(nameSchema, "region-1"),
  zone: v.optional(nameSchema, "zone-1"),
  /** Folder for the durable state; null on an entry without a disk. */
  dataFolder: v.optional(
    v.nullable(v.pipe(v.string(), v.minLength(1))),
    "data",
  ),
  /** Whether this entry votes when the deployment is new. */
  voter: v.optional(v.boolean(), true),
  http: addressSchema(DEFAULT_HTTP_PORT),
  peer: addressSchema(DEFAULT_PEER_PORT),
  peers: v.optional(v.array(peerSettingsSchema), []),
  /** File with the secret that all entries share; null on a single entry. */
  peerSecretFile: v.optional(v.nullable(v.string()), null),
  /** File with the first operator key; it is created when there is none. */
  operatorKeyFile: v.optional(v.string(), "operator.key"),
  /** Address of the platform; null when the platform is not driven. */
  platformUrl: v.optional(v.nullable(v.pipe(v.string(), v.url())), null),
  logLevel: v.optional(v.picklist(["debug", "info", "warn", "error"]), "info"),
  /** Lines of one message that the log takes in a second; more are counted. */
  logLinesPerSecond: v.optional(
    v.pipe(v.number(), v.integer(), v.minValue(1)),
    200,
  ),
  /** How long a planned stop serves on with readiness refused, in milliseconds. */
  readinessGraceMs: v.optional(
    v.pipe(v.number(), v.minValue(0)),
    DEFAULT_READINESS_GRACE_MS,
  ),
  /** How long a planned stop waits for running requests, in milliseconds. */
  stopDeadlineMs: v.optional(
    v.pipe(v.number(), v.minValue(0)),
    DEFAULT_STOP_DEADLINE_MS,
  ),
});

/** Settings of one daemon. */
export type Settings = v.InferOutput<typeof settingsSchema>;
/** Settings of another entry. */
export type PeerSettings = v.InferOutput<typeof peerSettingsSchema>;

/** Length that a peer secret must have, in characters. */
export const PEER_SECRET_MIN_LENGTH = MIN_SECRET_LENGTH;
