/** Loads the settings from JSON with comments, and validates them. */
import { readFile } from "node:fs/promises";
import {
  findNodeAtLocation,
  type Node,
  type ParseError,
  parseTree,
  printParseErrorCode,
} from "jsonc-parser";
import * as jsonc from "jsonc-parser";
import { Result } from "true-myth";
import * as v from "valibot";
import { createFailure, type Failure } from "../../domain/index.ts";
import { type Settings, settingsSchema } from "./settings_schema.ts";

/**
 * Loads the settings file.
 *
 * @param file - Path of the file; if undefined, every setting has its default.
 * @returns The settings, or `invalidSetting` with file, line, path and remedy.
 */
export async function loadSettings(
  file: string | undefined,
): Promise<Result<Settings, Failure>> {
  if (file === undefined) {
    return validateSettings("{}", "defaults");
  }
  try {
    return validateSettings(await readFile(file, "utf8"), file);
  } catch (error) {
    return Result.err(
      createFailure(
        "invalidSetting",
        `${file} cannot be read: ${String(error)}`,
        {
          path: file,
          remedy: "name a readable file with --settings",
        },
      ),
    );
  }
}

/**
 * Validates the text of a settings file.
 *
 * @param text - JSON with comments.
 * @param file - Name of the file, for failure messages.
 * @returns The settings with defaults filled in, or `invalidSetting`.
 */
export function validateSettings(
  text: string,
  file: string,
): Result<Settings, Failure> {
  const syntaxErrors: ParseError[] = [];
  const tree = parseTree(text, syntaxErrors, { allowTrailingComma: true });
  const syntaxError = syntaxErrors[0];
  if (syntaxError !== undefined || tree === undefined) {
    return Result.err(createSyntaxFailure(text, file, syntaxError));
  }
  const parsed = v.safeParse(settingsSchema, jsonc.getNodeValue(tree));
  return parsed.success
    ? validateCombination(parsed.output, file)
    : Result.err(createIssueFailure(text, file, tree, parsed.issues[0]));
}

function createSyntaxFailure(
  text: string,
  file: string,
  error: ParseError | undefined,
): Failure {
  const line = findLine(text, error?.offset ?? 0);
  const problem = error === undefined
    ? "the file is empty"
    : printParseErrorCode(error.error);
  return createFailure("invalidSetting", `${file}:${line}: ${problem}`, {
    path: file,
    remedy: "write JSON; comments and trailing commas are allowed",
  });
}

function createIssueFailure(
  text: string,
  file: string,
  tree: Node,
  issue: v.BaseIssue<unknown>,
): Failure {
  const keys = (issue.path ?? []).map(({ key }) => key as string | number);
  const path = keys.join(".");
  const line = findLine(text, findNearestNode(tree, keys).offset);
  const allowed = issue.expected === "never"
    ? "no such setting"
    : issue.expected;
  return createFailure(
    "invalidSetting",
    `${file}:${line}: ${path} is ${issue.received}, allowed: ${
      allowed ?? issue.message
    }`,
    { path, remedy: issue.message },
  );
}

// A missing setting has no position in the file, so the position of its nearest
// existing ancestor is reported.
function findNearestNode(tree: Node, keys: readonly (string | number)[]): Node {
  for (let length = keys.length; length > 0; length -= 1) {
    const node = findNodeAtLocation(tree, keys.slice(0, length));
    if (node !== undefined) {
      return node;
    }
  }
  return tree;
}

function findLine(text: string, offset: number): number {
  return text.slice(0, offset).split("\n").length;
}

function validateCombination(
  settings: Settings,
  file: string,
): Result<Settings, Failure> {
  const fail = (path: string, message: string, remedy: string) =>
    Result.err<Settings, Failure>(
      createFailure("invalidSetting", `${file}: ${path}: ${message}`, {
        path,
        remedy,
      }),
    );
  if (settings.voter && settings.dataFolder === null) {
    return fail(
      "voter",
      "a voter needs a disk",
      "set dataFolder, or set voter to false",
    );
  }
  if (settings.peers.length > 0 && settings.peerSecretFile === null) {
    return fail(
      "peerSecretFile",
      "is null, but peers are set",
      "set it to a file with the secret that all entries share",
    );
  }
  const ids = [
    settings.entryId,
    ...settings.peers.map(({ entryId }) => entryId),
  ];
  const duplicateId = ids.find((id, at) => ids.indexOf(id) !== at);
  if (duplicateId !== undefined) {
    return fail(
      "peers",
      `entry ${duplicateId} is listed twice`,
      "list every other entry once, without this entry",
    );
  }
  const voterCount = settings.peers.filter(({ voter }) => voter).length +
    Number(settings.voter);
  if (voterCount === 0) {
    return fail(
      "voter",
      "no entry votes",
      "set voter to true on three or five entries that have a data folder",
    );
  }
  return Result.ok(settings);
}
