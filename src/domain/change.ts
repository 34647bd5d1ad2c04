/** Changes of configuration, as operators send them and as the log keeps them. */
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

/** A change that an operator asks for, under an operation id. */
export type Change = v.InferOutput<typeof changeSchema>;

/** Schema of {@link AcceptedChange}. */
export const acceptedChangeSchema = v.object({
  operationId: v.string(),
  revision: v.number(),
});

/** The answer to a change that was accepted. */
export type AcceptedChange = v.InferOutput<typeof acceptedChangeSchema>;
