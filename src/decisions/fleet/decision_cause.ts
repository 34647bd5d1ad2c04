/** Describes the causes of decisions: fields of declared resources. */
import type {
  DecisionCause,
  Resource,
  StoredResource,
} from "../../domain/index.ts";

/**
 * Describes one field of a stored resource as the cause of a decision.
 *
 * @param stored - The resource with the change that set it.
 * @param field - The field that led to the decision.
 * @param value - Its value.
 * @returns The cause, with the operator who set the resource, the time and the
 * revision.
 */
export function createCause(
  stored: StoredResource<Resource>,
  field: string,
  value: string,
): DecisionCause {
  return {
    resource: { kind: stored.resource.kind, name: stored.resource.name },
    field,
    value,
    setBy: stored.setBy,
    setAtMs: stored.setAtMs,
    revision: stored.revision,
  };
}
