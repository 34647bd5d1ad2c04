/** Resources that operators declare. */
export * from "./resource.ts";
