/** `cardamomsill label KIND NAME k=v`: sets labels; `k-` removes one. */
import { Command, Option } from "clipanion";
import { Result } from "true-myth";
import {
  createFailure,
  type Failure,
  type Labels,
} from "../../domain/index.ts";
import type { ApiClient } from "../api/index.ts";
import { ApiCommand, type CommandOutput } from "../api_command.ts";
import { changeResource } from "../change_resource.ts";

/** Sets labels of a resource, or removes them with `k-`. */
export class LabelCommand extends ApiCommand {
  static override paths = [["label"]];
  static override usage = Command.Usage({
    description:
      "Set labels of a resource with name=value, or remove them with name-.",
    examples: [
      [
        "Take a zone out of service",
        "cardamomsill label zone zone-a service=out",
      ],
      [
        "Return a zone to service",
        "cardamomsill label zone zone-a service-",
      ],
    ],
  });

  kind = Option.String({ required: true });
  name = Option.String({ required: true });
  labels = Option.Rest({ required: 1 });

  override async run(
    client: ApiClient,
  ): Promise<Result<CommandOutput, Failure>> {
    const accepted = await changeResource(client, {
      kind: this.kind,
      name: this.name,
      operationId: this.createOperationId(),
      edit: (resource) =>
        editLabels(resource.labels, this.labels).map((labels) => ({
          ...resource,
          labels,
        })),
    });
    return accepted.map((value) => ({
      value,
      text:
        `${this.kind}/${this.name} is labelled in revision ${value.revision}\n`,
    }));
  }
}

/**
 * Applies edits to labels.
 *
 * @param labels - The current labels.
 * @param edits - Each `name=value` sets a label, each `name-` removes one.
 * @returns The new labels, or `invalidInput` for an edit of another form.
 */
export function editLabels(
  labels: Labels,
  edits: readonly string[],
): Result<Labels, Failure> {
  const edited = { ...labels };
  for (const edit of edits) {
    const [name = "", value] = edit.split("=", 2);
    if (value !== undefined) {
      edited[name] = value;
    } else if (edit.endsWith("-")) {
      delete edited[edit.slice(0, -1)];
    } else {
      return Result.err(
        createFailure(
          "invalidInput",
          `label '${edit}' is neither name=value nor name-`,
          {
            remedy: "write name=value to set a label, name- to remove one",
          },
        ),
      );
    }
  }
  return Result.ok(edited);
}
