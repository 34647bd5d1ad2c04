/** Changes one declared resource. */
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
  /** Returns the changed resource, or the failure of the edit. */
  readonly edit: (resource: Resource) => Result<Resource, Failure>;
}

/**
 * Reads a resource, edits it, and submits the change.
 *
 * @param client - The client of the entry.
 * @param options - Kind and name of the resource, and the edit.
 * @returns The accepted change, `notFound`, or `conflict` when the configuration
 * was changed between the read and the submit.
 */
export async function changeResource(
  client: ApiClient,
  options: ChangeResourceOptions,
): Promise<Result<AcceptedChange, Failure>> {
  const { kind, name, operationId, edit } = options;
  // A single read, so that the resource and the revision belong together.
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
        remedy: `list the existing ones with 'cardamomsill get ${kind}'`,
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
