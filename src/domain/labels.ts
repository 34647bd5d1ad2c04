/** Labels and the selectors that match them. */
import * as v from "valibot";

const MAX_NAME_LENGTH = 120;
const NAME_PATTERN = /^[a-z0-9]([a-z0-9._-]*[a-z0-9])?$/;

/** Schema of the name of a resource. */
export const nameSchema = v.pipe(
  v.string(),
  v.maxLength(MAX_NAME_LENGTH),
  v.regex(
    NAME_PATTERN,
    "use lower case letters, digits, '.', '_' and '-', up to 120 characters",
  ),
);

/** Schema of {@link Labels}. */
export const labelsSchema = v.record(
  nameSchema,
  v.pipe(v.string(), v.maxLength(MAX_NAME_LENGTH)),
);

/** Labels of a resource, by label name. */
export type Labels = v.InferOutput<typeof labelsSchema>;

/** Schema of {@link Selector}. */
export const selectorSchema = v.record(nameSchema, v.array(v.string()));

/** Allowed values by label name. An empty selector matches everything. */
export type Selector = v.InferOutput<typeof selectorSchema>;

/**
 * Checks whether labels satisfy a selector.
 *
 * @param selector - Allowed values by label name.
 * @param labels - Labels of the candidate.
 * @returns True when every label of the selector has an allowed value.
 */
export function matchesSelector(selector: Selector, labels: Labels): boolean {
  return Object.entries(selector).every(([label, values]) => {
    const value = labels[label];
    return value !== undefined && values.includes(value);
  });
}
