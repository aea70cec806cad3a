# One test binary per module, from modules/<module>/tests/*_test.cc.
find_package(GTest REQUIRED)
include(GoogleTest)
file(GLOB MODULE_DIRS CONFIGURE_DEPENDS modules/peridotmill_* tools/* standins/*)
foreach(MODULE_DIR ${MODULE_DIRS})
  file(GLOB TEST_SOURCES CONFIGURE_DEPENDS ${MODULE_DIR}/tests/*.cc)
  if(TEST_SOURCES)
    get_filename_component(MODULE_NAME ${MODULE_DIR} NAME)
    add_executable(${MODULE_NAME}_tests ${TEST_SOURCES})
    target_link_libraries(${MODULE_NAME}_tests PRIVATE
      peridotmill peridotmill_warnings GTest::gmock GTest::gtest_main nlohmann_json::nlohmann_json)
    # Where tests find the pages that must agree with the code.
    target_compile_definitions(${MODULE_NAME}_tests PRIVATE
      PERIDOTMILL_DOCS_DIR="${CMAKE_SOURCE_DIR}/docs")
    if(TARGET ${MODULE_NAME} AND NOT MODULE_NAME STREQUAL peridotmill)
      get_target_property(MODULE_TYPE ${MODULE_NAME} TYPE)
      if(MODULE_TYPE MATCHES LIBRARY)
        target_link_libraries(${MODULE_NAME}_tests PRIVATE ${MODULE_NAME})
      endif()
    endif()
    gtest_discover_tests(${MODULE_NAME}_tests PROPERTIES TIMEOUT 120 DISCOVERY_TIMEOUT 60)
  endif()
endforeach()
