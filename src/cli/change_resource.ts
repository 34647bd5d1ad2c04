/** Changes one resource as it stands now. */
import { Result } from "true-myth";
import {
  type AcceptedChange,
  acceptedChangeSchema,
  createFailure,
  type Failure,
  type Resource,
} from "../domain/index.ts";
import { type ApiClient, resourceListSchema } from "./api/index.ts";

/** Options of {@link changeResource}. */
export interface ChangeResourceOptions {
  readonly kind: string;
  readonly name: string;
  readonly operationId: string;
  /** Returns the resource as it should be, or why it cannot be changed. */
  readonly edit: (resource: Resource) => Result<Resource, Failure>;
}

/**
 * Reads a resource and its revision together, edits it, and sends it back.
 *
 * @param client - Calls the entry.
 * @param options - Which resource, and the edit.
 * @returns The accepted change, `notFound`, or `conflict` when an operator
 * changed the configuration in between.
 */
export async function changeResource(
  client: ApiClient,
  options: ChangeResourceOptions,
): Promise<Result<AcceptedChange, Failure>> {
  const { kind, name, operationId, edit } = options;
  // One read gives the resource and the revision that it belongs to.
  const listed = await client.get(`/v1/resources/${kind}`, resourceListSchema);
  if (listed.isErr) {
    return Result.err(listed.error);
  }
  const stored = listed.value.items.find(({ resource }) =>
    resource.name === name
  );
  if (stored === undefined) {
    return Result.err(
      createFailure("notFound", `${kind}/${name} does not exist`, {
        remedy: `list what exists with 'cardamomsill get ${kind}'`,
      }),
    );
  }
  const edited = edit(stored.resource);
  if (edited.isErr) {
    return Result.err(edited.error);
  }
  return await client.post("/v1/changes", {
    operationId,
    expectedRevision: listed.value.revision,
    puts: [edited.value],
  }, acceptedChangeSchema);
}
