/** Schemas of the resources that operators declare, one for each kind. */
import * as v from "valibot";
import { labelsSchema, nameSchema, selectorSchema } from "../labels.ts";

const DEFAULT_MAX_WAIT_MS = 2_000;
const DEFAULT_MAX_RUN_MS = 30_000;
const DEFAULT_DRAIN_DEADLINE_MS = 600_000;

const countSchema = v.pipe(v.number(), v.integer(), v.minValue(0));
const durationMsSchema = v.pipe(v.number(), v.minValue(1));

/** Fields that every resource has. */
const commonEntries = {
  name: nameSchema,
  labels: v.optional(labelsSchema, {}),
};

/** Schema of the failure domains for which an availability budget is declared. */
export const failureDomainSchema = v.picklist(["pool", "zone", "rack"]);

/** Schema of {@link AvailabilityBudget}. */
export const availabilityBudgetSchema = v.strictObject({
  domain: failureDomainSchema,
  maxUnavailableVmCount: countSchema,
});

/** Maximum number of VMs of a failure domain that may be unavailable at once. */
export type AvailabilityBudget = v.InferOutput<
  typeof availabilityBudgetSchema
>;

/** Schema of {@link Pool}. */
export const poolSchema = v.strictObject({
  kind: v.literal("pool"),
  ...commonEntries,
  vmSelector: selectorSchema,
  spare: v.optional(v.boolean(), false),
  budgets: v.optional(v.array(availabilityBudgetSchema), []),
});

/** Schema of {@link Vm}. */
export const vmSchema = v.strictObject({
  kind: v.literal("vm"),
  ...commonEntries,
  zone: nameSchema,
  rack: nameSchema,
});

/** Schema of {@link Team}. */
export const teamSchema = v.strictObject({
  kind: v.literal("team"),
  ...commonEntries,
  share: v.optional(v.pipe(v.number(), v.minValue(0)), 1),
  maxRunningCount: countSchema,
});

/** Schema of {@link Key}; only the digest of the secret is stored. */
export const keySchema = v.strictObject({
  kind: v.literal("key"),
  ...commonEntries,
  role: v.picklist(["team", "operator"]),
  team: v.optional(nameSchema),
  digest: v.pipe(v.string(), v.hexadecimal(), v.length(64)),
  withdrawn: v.optional(v.boolean(), false),
});

/** Schema of {@link Queue}. */
export const queueSchema = v.strictObject({
  kind: v.literal("queue"),
  ...commonEntries,
  poolSelector: selectorSchema,
  openToAll: v.optional(v.boolean(), false),
  priority: v.optional(v.pipe(v.number(), v.integer()), 0),
  maxWaitMs: v.optional(durationMsSchema, DEFAULT_MAX_WAIT_MS),
  maxRunMs: v.optional(durationMsSchema, DEFAULT_MAX_RUN_MS),
});

/** Schema of {@link Binding}. */
export const bindingSchema = v.strictObject({
  kind: v.literal("binding"),
  ...commonEntries,
  teamSelector: selectorSchema,
  queueSelector: selectorSchema,
});

/** Schema of {@link Zone}. */
export const zoneSchema = v.strictObject({
  kind: v.literal("zone"),
  ...commonEntries,
  region: nameSchema,
});

/** Schema of {@link Maintenance}. */
export const maintenanceSchema = v.strictObject({
  kind: v.literal("maintenance"),
  ...commonEntries,
  action: v.picklist(["takeOut", "reboot"]),
  zoneSelector: v.optional(selectorSchema),
  vmSelector: v.optional(selectorSchema),
  drainDeadlineMs: v.optional(durationMsSchema, DEFAULT_DRAIN_DEADLINE_MS),
  cancelled: v.optional(v.boolean(), false),
});

/** Schema of {@link Resource}, discriminated by `kind`. */
export const resourceSchema = v.variant("kind", [
  poolSchema,
  vmSchema,
  teamSchema,
  keySchema,
  queueSchema,
  bindingSchema,
  zoneSchema,
  maintenanceSchema,
]);

/** A set of VMs selected by labels. */
export type Pool = v.InferOutput<typeof poolSchema>;
/** A VM of the fleet. */
export type Vm = v.InferOutput<typeof vmSchema>;
/** A team with its share of the capacity and its limit of running requests. */
export type Team = v.InferOutput<typeof teamSchema>;
/** A key that authenticates a team's callers or an operator. */
export type Key = v.InferOutput<typeof keySchema>;
/** A queue that accepts requests. */
export type Queue = v.InferOutput<typeof queueSchema>;
/** Permission for the selected teams to use the selected queues. */
export type Binding = v.InferOutput<typeof bindingSchema>;
/** An availability zone; {@link ZONE_SERVICE_LABEL} can take it out of service. */
export type Zone = v.InferOutput<typeof zoneSchema>;
/** A declared maintenance action on zones or VMs. */
export type Maintenance = v.InferOutput<typeof maintenanceSchema>;
/** Any declared resource. */
export type Resource = v.InferOutput<typeof resourceSchema>;
/** Kind of a declared resource. */
export type ResourceKind = Resource["kind"];
/** Type of the resources of one kind. */
export type ResourceOf<K extends ResourceKind> = Extract<Resource, { kind: K }>;

/** Every kind of resource, in the order in which they are listed. */
export const RESOURCE_KINDS = [
  "pool",
  "vm",
  "team",
  "key",
  "queue",
  "binding",
  "zone",
  "maintenance",
] as const satisfies readonly ResourceKind[];

/** Schema of {@link ResourceKind}. */
export const resourceKindSchema = v.picklist(RESOURCE_KINDS);

/** Label on a zone that takes it out of service when its value is `out`. */
export const ZONE_SERVICE_LABEL = "service";
/** Value of {@link ZONE_SERVICE_LABEL} that takes a zone out of service. */
export const ZONE_OUT_VALUE = "out";
