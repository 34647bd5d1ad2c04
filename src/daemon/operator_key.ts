/** Loads the bootstrap operator key, which is valid before any key is declared. */
import { mkdir, readFile, writeFile } from "node:fs/promises";
import { dirname } from "node:path";
import type { Secrets } from "../ports/index.ts";

const SECRET_FILE_MODE = 0o600;

/** Options of {@link loadOperatorKey}. */
export interface OperatorKeyOptions {
  /** Path of the file that holds the secret. */
  readonly file: string;
  /** Whether to create a missing file with a new secret. */
  readonly mayCreate: boolean;
  readonly secrets: Secrets;
}

/**
 * Loads the bootstrap operator key, or creates it.
 *
 * @param options - The file, and whether it may be created.
 * @returns The digest of the secret, or undefined when there is no file and
 * none may be created.
 * @throws Error when the file cannot be read or written.
 */
export async function loadOperatorKey(
  options: OperatorKeyOptions,
): Promise<string | undefined> {
  const { file, mayCreate, secrets } = options;
  const known = await readSecretFile(file);
  if (known !== undefined) {
    return secrets.digest(known);
  }
  if (!mayCreate) {
    return undefined;
  }
  const secret = secrets.create();
  await mkdir(dirname(file), { recursive: true });
  await writeFile(file, `${secret}\n`, { mode: SECRET_FILE_MODE, flag: "wx" });
  return secrets.digest(secret);
}

async function readSecretFile(file: string): Promise<string | undefined> {
  try {
    const text = await readFile(file, "utf8");
    return text.trim();
  } catch (error) {
    if (error instanceof Error && "code" in error && error.code === "ENOENT") {
      return undefined;
    }
    throw error;
  }
}
