/** `cardamomsill plan -f FILE`: shows the effects that a change would have. */
import { Command, Option } from "clipanion";
import { Result } from "true-myth";
import { type Failure, resourceRefSchema } from "../../domain/index.ts";
import { validateWith } from "../../domain/index.ts";
import { type ApiClient, planSchema } from "../api/index.ts";
import { ApiCommand, type CommandOutput } from "../api_command.ts";
import { renderPlan } from "../output/index.ts";
import { loadResources } from "./apply.ts";

/** Shows the effects of a change without applying it. */
export class PlanCommand extends ApiCommand {
  static override paths = [["plan"]];
  static override usage = Command.Usage({
    description: "Show the effects of a change without applying it.",
    examples: [
      ["Plan a file", "cardamomsill plan -f fleet.jsonc"],
      ["Plan a deletion", "cardamomsill plan --delete binding/fitting-swings"],
    ],
  });

  file = Option.String("-f,--file", {
    description: "File with the resources: JSON with comments",
  });
  deletes = Option.Array("--delete", [], {
    description: "Resource to delete, as kind/name; may be repeated",
  });

  override async run(
    client: ApiClient,
  ): Promise<Result<CommandOutput, Failure>> {
    const puts = this.file === undefined
      ? Result.ok<unknown[], Failure>([])
      : await loadResources(this.file);
    if (puts.isErr) {
      return Result.err(puts.error);
    }
    const deletes = [];
    for (const subject of this.deletes) {
      const ref = parseRef(subject);
      if (ref.isErr) {
        return Result.err(ref.error);
      }
      deletes.push(ref.value);
    }
    const body = { puts: puts.value, deletes };
    const plan = await client.post("/v1/plan", body, planSchema);
    return plan.map((value) => ({ value, text: renderPlan(value) }));
  }
}

function parseRef(subject: string) {
  const [kind, ...rest] = subject.split("/");
  return validateWith(resourceRefSchema, { kind, name: rest.join("/") }, {
    subject: `--delete ${subject}`,
  });
}
