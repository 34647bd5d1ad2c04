/** `cardamomsill job get ID`: shows the state of a job. */
import { Command, Option } from "clipanion";
import type { Result } from "true-myth";
import type { Failure } from "../../domain/index.ts";
import { type ApiClient, jobResponseSchema } from "../api/index.ts";
import { ApiCommand, type CommandOutput } from "../api_command.ts";

/** Shows the state of a job. */
export class JobGetCommand extends ApiCommand {
  static override paths = [["job", "get"]];
  static override usage = Command.Usage({
    description: "Show the state of a job; 'explain job/ID' gives the reasons.",
    examples: [["A job", "cardamomsill job get 0123456789abcdef"]],
  });

  id = Option.String({ required: true });

  override async run(
    client: ApiClient,
  ): Promise<Result<CommandOutput, Failure>> {
    const response = await client.get(`/v1/jobs/${this.id}`, jobResponseSchema);
    return response.map((value) => ({
      value,
      text: `job/${this.id} is ${value.state}\n`,
    }));
  }
}
