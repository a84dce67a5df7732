export { testEngineService, testPlainService, testVersion, testWorkspace } from './JayfallTestCatalogue'
export { TestProcess, createTestAddress, findFreePort } from './JayfallTestProcess'
export { TEST_OPERATOR_KEY, TestSystem, testCallerKey, testCallerKeyHash, type TestEntry, type TestServer, type TestSystemSettings } from './JayfallTestSystem'
