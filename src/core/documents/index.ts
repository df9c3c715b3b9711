/** Documents that people write: settings and configuration. */
export { describeProblems, readDocument, requireDocument } from './read-document';
export type { DocumentProblem, DocumentReading } from './read-document';
