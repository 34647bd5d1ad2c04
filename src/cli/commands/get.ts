/** `cardamomsill get KIND [NAME]`: shows declared resources. */
import { Command, Option } from "clipanion";
import type { Result } from "true-myth";
import type { Failure } from "../../domain/index.ts";
import {
  type ApiClient,
  resourceListSchema,
  type StoredResourceResponse,
  storedResourceSchema,
} from "../api/index.ts";
import { ApiCommand, type CommandOutput } from "../api_command.ts";
import { renderTable } from "../output/index.ts";

const HEADER = ["NAME", "REVISION", "SET BY", "LABELS", "FIELDS"];

/** Shows the declared resources of a kind, or one of them. */
export class GetCommand extends ApiCommand {
  static override paths = [["get"]];
  static override usage = Command.Usage({
    description: "Show the declared resources of a kind, or one of them.",
    examples: [["List the teams", "cardamomsill get team"]],
  });

  kind = Option.String({ required: true });
  name = Option.String({ required: false });

  override async run(
    client: ApiClient,
  ): Promise<Result<CommandOutput, Failure>> {
    const path = `/v1/resources/${this.kind}`;
    if (this.name !== undefined) {
      const stored = await client.get(
        `${path}/${this.name}`,
        storedResourceSchema,
      );
      return stored.map((value) => ({
        value,
        text: renderTable(HEADER, [renderRow(value)]),
      }));
    }
    const listed = await client.get(path, resourceListSchema);
    return listed.map((value) => ({
      value,
      text: renderTable(HEADER, value.items.map(renderRow)),
    }));
  }
}

function renderRow(stored: StoredResourceResponse): string[] {
  const { kind: _kind, name, labels, ...fields } = stored.resource;
  const pairs = Object.entries(labels).map(([label, value]) =>
    `${label}=${value}`
  );
  return [
    name,
    String(stored.revision),
    stored.setBy,
    pairs.join(",") || "-",
    JSON.stringify(fields),
  ];
}
