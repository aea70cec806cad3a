include(CMakePackageConfigHelpers)
install(TARGETS peridotmill EXPORT peridotmill-targets
  ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR} LIBRARY DESTINATION ${CMAKE_INSTALL_LIBDIR})
install(DIRECTORY modules/ DESTINATION ${CMAKE_INSTALL_INCLUDEDIR}/peridotmill
  FILES_MATCHING PATTERN "*.h" PATTERN "peridotmill_net" EXCLUDE PATTERN "tests" EXCLUDE)
install(EXPORT peridotmill-targets NAMESPACE peridotmill::
  DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/peridotmill)
configure_package_config_file(cmake/peridotmill-config.cmake.in
  ${CMAKE_CURRENT_BINARY_DIR}/peridotmill-config.cmake
  INSTALL_DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/peridotmill)
write_basic_package_version_file(${CMAKE_CURRENT_BINARY_DIR}/peridotmill-config-version.cmake
  COMPATIBILITY SameMinorVersion)
install(FILES ${CMAKE_CURRENT_BINARY_DIR}/peridotmill-config.cmake
  ${CMAKE_CURRENT_BINARY_DIR}/peridotmill-config-version.cmake
  DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/peridotmill)
# Relative to the file itself, so that `cmake --install --prefix` may choose another prefix.
file(RELATIVE_PATH PERIDOTMILL_PC_PREFIX
  /prefix/${CMAKE_INSTALL_LIBDIR}/pkgconfig /prefix)
configure_file(cmake/peridotmill.pc.in ${CMAKE_CURRENT_BINARY_DIR}/peridotmill.pc @ONLY)
install(FILES ${CMAKE_CURRENT_BINARY_DIR}/peridotmill.pc
  DESTINATION ${CMAKE_INSTALL_LIBDIR}/pkgconfig)
