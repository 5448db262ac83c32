# Helpers that define one library per layer, one program per folder and one test program per test folder.

# Warnings apply to the project's own targets only, not to generated or third-party code.
set(GUAVAFIELD_WARNINGS -Wall -Wextra -Wpedantic -Wshadow -Wnon-virtual-dtor -Wno-missing-field-initializers
    # g++ 12 reports members of an empty std::optional.
    -Wno-maybe-uninitialized
    # g++ 12 mistakes the frame allocator of Asio's coroutines for a mismatch.
    -Wno-mismatched-new-delete)

function(guavafield_library layer)
    file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/src/guavafield/${layer}/*.cpp ${PROJECT_SOURCE_DIR}/src/guavafield/${layer}/*.c++)
    add_library(guavafield_${layer} STATIC ${sources})
    add_library(guavafield::${layer} ALIAS guavafield_${layer})
    set_target_properties(guavafield_${layer} PROPERTIES EXPORT_NAME ${layer})
    target_include_directories(
        guavafield_${layer} PUBLIC $<BUILD_INTERFACE:${PROJECT_SOURCE_DIR}/src> $<INSTALL_INTERFACE:include>)
    target_compile_features(guavafield_${layer} PUBLIC cxx_std_20)
    target_compile_options(guavafield_${layer} PRIVATE ${GUAVAFIELD_WARNINGS})
    foreach(source IN LISTS sources)
        if(source MATCHES "\\.c\\+\\+$")
            set_source_files_properties(${source} PROPERTIES COMPILE_OPTIONS -w)
        endif()
    endforeach()
endfunction()

function(guavafield_program name folder)
    file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/${folder}/*.cpp)
    if(NOT sources)
        return()
    endif()
    add_executable(${name} ${sources})
    target_include_directories(${name} PRIVATE ${PROJECT_SOURCE_DIR})
    target_compile_definitions(${name} PRIVATE GUAVAFIELD_VERSION="${PROJECT_VERSION}")
    target_compile_options(${name} PRIVATE ${GUAVAFIELD_WARNINGS})
    target_link_libraries(${name} PRIVATE guavafield_transport)
endfunction()

# A benchmark program of one bench folder; not part of the tests.
function(guavafield_bench name folder)
    guavafield_program(${name} ${folder})
    if(TARGET ${name})
        target_link_libraries(${name} PRIVATE PkgConfig::BENCHMARK PkgConfig::URCU)
    endif()
endfunction()

# A folder test/<a>/<b> with *_test.cpp files becomes the test program <a>_<b>_test.
function(guavafield_tests)
    # What tests of several folders share.
    file(GLOB_RECURSE support CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/test/support/*.cpp)
    list(FILTER support EXCLUDE REGEX "/main\\.cpp$")
    add_library(guavafield_test_support STATIC ${support})
    target_include_directories(guavafield_test_support PUBLIC ${PROJECT_SOURCE_DIR}/test ${PROJECT_SOURCE_DIR})
    target_compile_options(guavafield_test_support PRIVATE ${GUAVAFIELD_WARNINGS})
    target_link_libraries(guavafield_test_support PUBLIC guavafield_machines PkgConfig::CPPUNIT)
    file(GLOB_RECURSE all CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/test/*_test.cpp)
    set(folders)
    foreach(source IN LISTS all)
        get_filename_component(folder ${source} DIRECTORY)
        list(APPEND folders ${folder})
    endforeach()
    list(REMOVE_DUPLICATES folders)
    foreach(folder IN LISTS folders)
        file(RELATIVE_PATH relative ${PROJECT_SOURCE_DIR}/test ${folder})
        string(REPLACE "/" "_" name ${relative})
        file(GLOB sources CONFIGURE_DEPENDS ${folder}/*.cpp)
        add_executable(${name}_test ${sources} ${PROJECT_SOURCE_DIR}/test/support/main.cpp)
        target_include_directories(${name}_test PRIVATE ${PROJECT_SOURCE_DIR}/test ${PROJECT_SOURCE_DIR})
        target_compile_options(${name}_test PRIVATE ${GUAVAFIELD_WARNINGS})
        target_link_libraries(${name}_test PRIVATE ${RAPIDCHECK_LIBRARY} stdc++ guavafield_test_support guavafield_machines PkgConfig::CPPUNIT)
        add_test(NAME ${name} COMMAND ${name}_test)
        set_tests_properties(${name} PROPERTIES TIMEOUT 300 ENVIRONMENT "GUAVAFIELD_BIN_DIR=${CMAKE_BINARY_DIR};GUAVAFIELD_SOURCE_DIR=${PROJECT_SOURCE_DIR};RC_PARAMS=seed=20261204")
    endforeach()

    # System tests start real processes, which only scripts may do.
    file(GLOB scripts CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/test/system/*_test.py)
    if(scripts AND NOT GUAVAFIELD_SANITIZER)
        find_package(Python3 REQUIRED COMPONENTS Interpreter)
        foreach(script IN LISTS scripts)
            get_filename_component(name ${script} NAME_WE)
            string(REGEX REPLACE "_test$" "" name ${name})
            add_test(NAME system_${name} COMMAND ${Python3_EXECUTABLE} -B ${script})
            set_tests_properties(
                system_${name}
                PROPERTIES TIMEOUT 300 ENVIRONMENT "GUAVAFIELD_BIN_DIR=${CMAKE_BINARY_DIR};GUAVAFIELD_SOURCE_DIR=${PROJECT_SOURCE_DIR}")
        endforeach()
    endif()
endfunction()

# Links the simulation of bench/simulation into a target; the library is defined on first use.
function(guavafield_simulation target)
    if(NOT TARGET guavafield_simulation)
        file(GLOB sources CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/bench/simulation/*.cpp)
        add_library(guavafield_simulation STATIC ${sources})
        target_include_directories(guavafield_simulation PUBLIC ${PROJECT_SOURCE_DIR})
        target_compile_options(guavafield_simulation PRIVATE ${GUAVAFIELD_WARNINGS})
        target_link_libraries(guavafield_simulation PUBLIC guavafield_coordination)
    endif()
    if(TARGET ${target})
        target_link_libraries(${target} PRIVATE guavafield_simulation)
    endif()
endfunction()
