/** Configuration changes, as operators send them and as the log stores them. */
import * as v from "valibot";
import { nameSchema } from "./labels.ts";
import { resourceKindSchema, resourceSchema } from "./resources/index.ts";

const MAX_RESOURCES_PER_CHANGE = 2_000;

/** Schema of {@link ResourceRef}. */
export const resourceRefSchema = v.strictObject({
  kind: resourceKindSchema,
  name: nameSchema,
});

/** Kind and name of a resource. */
export type ResourceRef = v.InferOutput<typeof resourceRefSchema>;

/** Schema of {@link Change}. */
export const changeSchema = v.strictObject({
  operationId: v.pipe(v.string(), v.minLength(8), v.maxLength(80)),
  expectedRevision: v.pipe(v.number(), v.integer(), v.minValue(0)),
  puts: v.optional(
    v.pipe(v.array(resourceSchema), v.maxLength(MAX_RESOURCES_PER_CHANGE)),
    [],
  ),
  deletes: v.optional(
    v.pipe(v.array(resourceRefSchema), v.maxLength(MAX_RESOURCES_PER_CHANGE)),
    [],
  ),
});

/**
 * A configuration change requested by an operator. Resending it under the same
 * operation id has no second effect.
 */
export type Change = v.InferOutput<typeof changeSchema>;

/** Schema of {@link AcceptedChange}. */
export const acceptedChangeSchema = v.object({
  operationId: v.string(),
  revision: v.number(),
});

/** Answer to an accepted change, with the revision that it created. */
export type AcceptedChange = v.InferOutput<typeof acceptedChangeSchema>;
